// 1,000 caches in ten racks, of which three go silent at once for 30 s and come back cold. What comes of it is simulated.
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
  troubles: [{ kind: 'vanish', at: '10s', 'for': '30s', cells: 3, cold: true }],
}
