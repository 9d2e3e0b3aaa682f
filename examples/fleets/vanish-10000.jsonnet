// 10,000 caches in a hundred racks, of which thirty go silent at once for 30 s and come back cold. What comes of it is simulated.
{
  seconds: '60s',
  warm: '20s',
  dispatchers: 4,
  caches: 10000,
  cells: 100,
  parents: 10,
  rate: '4000/s',
  objects: 200000,
  zipf: 1.1,
  holds: 2000,
  troubles: [{ kind: 'vanish', at: '10s', 'for': '30s', cells: 30, cold: true }],
}
