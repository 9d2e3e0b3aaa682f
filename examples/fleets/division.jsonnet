// What dividing each dispatcher among modules costs in decisions: run it with --shards 1, 4 and 8. Simulated.
{
  seconds: '30s',
  warm: '20s',
  dispatchers: 4,
  caches: 40,
  cells: 4,
  parents: 2,
  holds: 1500,
  rate: '3000/s',
  objects: 40000,
  zipf: 1.1,
  troubles: [{ kind: 'vanish', at: '5s', 'for': '8s', cells: 1, cold: true }, { kind: 'purge', at: '20s', rate: '20/s' }],
}
