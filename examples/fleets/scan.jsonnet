// Objects that are asked for once, four times as often as all others, beside some that are hot. What comes of it is simulated.
{
  seconds: '40s',
  warm: '20s',
  dispatchers: 2,
  caches: 20,
  holds: 4000,
  rate: '2000/s',
  objects: 1000,
  zipf: 1.1,
  troubles: [{ kind: 'scan', at: '10s', 'for': '20s', rate: '8000/s' }],
}
