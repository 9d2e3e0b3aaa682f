// Who may call the dispatcher of the toy set-up: the counter may have everything, the reseller pages alone.
{
  callers: {
    tokens: { keys: 'keys.json' },
    tenants: {
      counter: { rules: [{ allow: {} }] },
      reseller: { rules: [{ allow: { services: ['page'] } }], share: { rate: '20/s', burst: 40 } },
    },
  },
}
