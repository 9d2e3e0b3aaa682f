// All of 1,000 caches come back cold at once. What comes of it is simulated.
{
  seconds: '60s',
  warm: '20s',
  dispatchers: 4,
  caches: 1000,
  cells: 10,
  parents: 4,
  rate: '4000/s',
  objects: 50000,
  zipf: 1.1,
  holds: 2000,
  troubles: [{ kind: 'restart', at: '10s', share: 1 }],
}
