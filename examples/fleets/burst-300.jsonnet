// 300 dispatchers, each with few GETs, in 40 locations whose links in carry little more than their fills; clients ask one
// and a half times as often for five seconds. `tells: false` is the same where answers tell no bytes. What comes of it is
// simulated.
{
  seconds: '30s',
  warm: '25s',
  dispatchers: 300,
  zones: 40,
  caches: 200,
  cells: 40,
  parents: 12,
  rate: '3000/s',
  objects: 20000,
  zipf: 1.1,
  holds: 1000,
  objective: '600ms',
  viewer_timeout: '3s',
  again: 3,
  kb: 2,
  spread: 0.6,
  pace: 8,
  cache_kb: 60,
  parent_kb: 200,
  origin_kb: 2000,
  way_in_kb: 50,
  troubles: [{ kind: 'burst', at: '5s', 'for': '5s', factor: 1.5 }],
}
