// Load stays, a trigger passes: half of the caches are slow for 5 s, and clients that are shed or left come again. What
// comes of it is simulated.
{
  seconds: '40s',
  warm: '15s',
  dispatchers: 4,
  caches: 20,
  cells: 4,
  parents: 2,
  slots: 4,
  serve: '20ms',
  holds: 4000,
  rate: '3000/s',
  objects: 4000,
  zipf: 1.1,
  again: 4,
  viewer_timeout: '1s',
  troubles: [{ kind: 'slow', at: '10s', 'for': '5s', cells: 2, factor: 20 }],
}
