{
  callers: {
    skew: '31s', window: '3s', anonymous: 'nobody',
    tokens: { no_keys: true, audience: 'elderwall', longest: '11h', require: ['exp', 'sub'] },
    certificates: [{ name: 'uri:spiffe://branches.example/*', tenant: 'counter' }, { name: 'cn:x', tenant: 'counter' }],
    roles: { all: [{ allow: {} }], some: [{ deny: { services: ['page'], objects: ['00ff*', '7f3a9c21e0b4d655'], groups: [0, 255], networks: ['10.0.0.0/8', '::1/128'] } }] },
    tenants: {
      counter: { roles: ['all', 'some'], share: { rate: '200/s', burst: 400, under_way: 256, weight: 2.5 }, caller: { rate: '20/min', burst: 40, under_way: 3 } },
      'nobody': { rules: [{ allow: { services: ['segment'] } }] },
    },
    limits: { verdicts: 11, callers: 12, checks: '13/s', checks_by_connection: '14/s', check_burst: 15 },
  },
  joins: ['page'],
  retries: { share: 0.2, floor: '6/s' },
  proxies: {
    listen: '127.0.0.1:9002', mode: 'immediate', late: 'pass', decide: '8ms', hold: '300ms', open: 100, share: 0.25, metadata: true, prefix: 'x-other-',
    paths: [{ match: '/clips/(?P<object>[0-9a-f]{16})/(?P<part>[0-9]+)', service: 'segment', budget: '7s' }, { match: '/(?P<object>.*)', service: 'page' }],
  },
  cores: { count: 4, shards: 3, divided: 'connections' },
  fleet: {
    listen: '127.0.0.1:5100', address: '127.0.0.1:5101', zone: 'east', pace: '250ms', wire: 1, peers: ['127.0.0.1:5102', '127.0.0.1:5103'],
    reach: { '127.0.0.1:5104': '127.0.0.1:5105' }, remember: 'fleet.json',
    duties: { voter: true, folder: 'voter', priority: -3, report: '9s', stands: { purger: '5s', reporter: '6s' } },
    budgets: {
      generation: 3, tail: '4s',
      wholes: {
        fills: { of: 'origin', most: 40, floor: 1, ceiling: 9 }, a: { of: 'tenant:counter', rate: 2.5, burst: 10 },
        aa: { of: 'tenant:counter', most: 3 }, again: { of: 'retries', rate: 1 }, bytes: { amount: 100, window: '1h' }, host: { of: 'host:s-1', most: 2 },
      },
    },
    memory: { folder: 'memory', horizon: '2h', rate: '64KiB' },
    channels: {
      purges: { order: 'latest', generation: 2, entries: 100, bytes: '1MiB', time: '10m', wait: '1s', forget: '2h', slow: 'cut' },
      orders: { order: 'total', repeats: 'allowed', slow: 'cut' }, keyed: { order: 'key', gaps: 'told' }, sent: { order: 'sender' },
      caused: { order: 'causal', generation: 4, end: true },
    },
    variants: {
      objects: 1000,
      services: { segment: { classes: ['tv', 'phone'], field: 'Device', host_field: 'dev', proof: 'tag', witnesses: 3, fresh: '10m', presume: { objects: 200, checks: 0.01 } } },
    },
  },
}
