// What dispatchers cost their hosts: calm traffic of 3,000 GETs a second in three locations with 198 caches, by how many
// dispatchers bring it (change `dispatchers`). What comes of it is simulated.
{
  seconds: '60s',
  warm: '30s',
  dispatchers: 300,
  zones: 3,
  caches: 198,
  cells: 3,
  parents: 12,
  rate: '3000/s',
  objects: 20000,
  holds: 1000,
  news: '1s',
  troubles: [{ kind: 'replace', at: '10s', 'for': '30s', share: 0.5 }],
}
