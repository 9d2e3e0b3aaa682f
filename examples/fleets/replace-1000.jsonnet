// 97% of 1,000 caches are replaced one after the other in 30 s; who comes is cold. What comes of it is simulated.
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
  troubles: [{ kind: 'replace', at: '10s', 'for': '30s', share: 0.97 }],
}
