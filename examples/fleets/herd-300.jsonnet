// As burst-300, but calm until seven in ten of the 300 dispatchers are killed at once and come back a second later, knowing
// nothing. What comes of it is simulated.
(import 'burst-300.jsonnet') { troubles: [{ kind: 'kill', at: '5s', 'for': '1s', share: 0.7 }] }
