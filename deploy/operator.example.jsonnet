// What an installation adds to the platform's configuration: an example of an operator's own file. Name it by
// ELDERWALL_OPERATOR, check it with `elderwall check FILE`, and send SIGHUP to have it read again. Times and rates have
// their units. docs/operators/callers.md tells of every key. What names files of yours is hidden by a second colon, so
// that the example can be checked as it stands: once the files are there, beside this one, take these colons out.

// Tenants of one kind have the same roles and the same share, each for itself.
local reseller(weight) = {
  roles: ['clips', 'pages'],
  share: { rate: '200/s', burst: 400, under_way: 256, weight: weight },
  caller: { rate: '20/s', burst: 40 },
};

{
  callers: {
    skew: '30s',
    window: '2s',
    tokens: {
      no_keys: true, // until there are some, by `elderwall keys new`; then take this line out
      keys:: 'keys.json',
      revoked:: 'revoked.json', // {"tokens": [jti …], "subjects": [sub …]}
      audience: 'elderwall',
      longest: '12h',
      require: ['exp', 'iat', 'sub'],
    },
    certificates: [
      { name: 'uri:spiffe://branches.example/counter/*', tenant: 'counter' },
      { name: 'dns:*.tools.example', tenant: 'staff' },
    ],
    roles: {
      clips: [{ allow: { services: ['segment'] } }],
      // The most specific object decides, and a denial before an allowance of the same object.
      pages: [
        { allow: { services: ['page'] } },
        { deny: { services: ['page'], objects: ['00ff*'] } },
      ],
      all: [{ allow: {} }],
      inside: [{ allow: { networks: ['10.0.0.0/8', '127.0.0.0/8'] } }],
    },
    tenants: {
      counter: { roles: ['all'], share: { weight: 4 } },
      staff: { roles: ['inside'], share: { under_way: 64 } },
      'reseller-north': reseller(1),
      'reseller-south': reseller(2) + { rules: [{ deny: { groups: [17] } }] },
    },
  },
  // A listener beside the plain one, where clients show certificates.
  tls:: {
    listen: '127.0.0.1:4143',
    certificate: 'server.pem',
    key: 'server.key',
    authorities: 'clients.pem',
    revocations: ['clients.crl'],
    required: true,
    oldest: '1.2',
  },
}
