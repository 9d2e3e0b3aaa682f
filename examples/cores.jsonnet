// What several cores give: `bin/elderwall load examples/cores.jsonnet --json FILE`, on a machine that nothing else uses.
// Each subject is measured at its peak (a closed loop), and at half and nine tenths of it (at a rate).
local limits = { memory_mb: 1024, sockets: 4096 };
local shards(n) = limits + { program: 'bin/elderwall', args: ['serve', '--cores', std.toString(n)] };
local at(traffic) = [
  traffic { name: traffic.name + ' peak' },
  traffic { name: traffic.name + ' half', of_peak: 0.5, peak: traffic.name + ' peak' },
  traffic { name: traffic.name + ' nine tenths', of_peak: 0.9, peak: traffic.name + ' peak' },
];
local clients = { connections: 32, under_way: 16, objects: 10000 };

{
  rounds: 2,
  seconds: '2s',
  warm: '500ms',
  farm: { caches: 8, parents: 1, bytes: '1KB' },
  subjects: {
    'one-lock-1': limits + { program: 'bin/elderwall', cores: 1 },
    'one-lock-8': limits + { program: 'bin/elderwall', cores: 8 },
    'shards-2': shards(2),
    'shards-4': shards(4),
    'shards-8': shards(8),
  },
  cases: at(clients { name: 'even' }) + at(clients { name: 'zipf', zipf: 1.1 }) + at(clients { name: 'hot', hot: 0.6 }),
}
