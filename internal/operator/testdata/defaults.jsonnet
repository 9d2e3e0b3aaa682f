{
  callers: {},
  retries: {},
  proxies: { listen: '127.0.0.1:9002', paths: [{ match: '/(?P<object>.*)', service: 'page' }] },
  cores: {},
  fleet: {
    listen: '127.0.0.1:5100',
    duties: { voter: true, folder: '/var/lib/elderwall/voter' },
    budgets: { wholes: { fills: { most: 1 } } },
    memory: {},
    channels: { one: { order: 'key' } },
    variants: { services: { segment: { classes: ['a', 'b'], field: 'Dev', host_field: 'dev', proof: 'digest' } } },
  },
}
