// Load stays, a trigger passes: three quarters of the caches do the work and answer with errors for 5 s, and clients come
// again. Try it with retry_share: 0.1, retry_floor: '5/s' beside. What comes of it is simulated.
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
  rate: '3600/s',
  objects: 4000,
  zipf: 1.1,
  again: 4,
  viewer_timeout: '1s',
  troubles: [{ kind: 'err', at: '10s', 'for': '5s', cells: 3 }],
}
