// What it costs in decisions to divide a dispatcher: hits, fills and copies in caches that can't hold all that is asked
// for, with one module, and with four and eight shards by items and by connections.
local program(n) = { program: 'bin/elderwall', args: ['serve', '--cores', std.toString(n)], memory_mb: 1024, sockets: 4096 };
local file(n, divided) = { program: 'bin/elderwall', operator: 'examples/' + divided + '-' + n + '.jsonnet', memory_mb: 1024, sockets: 4096 };

{
  rounds: 1,
  seconds: '6s',
  warm: '6s',
  farm: { caches: 8, parents: 1, bytes: '1KB', holds: 1000, fill: '5ms' },
  subjects: {
    one: { program: 'bin/elderwall', cores: 8, memory_mb: 1024, sockets: 4096 },
    'items-4': program(4),
    'items-8': program(8),
    'connections-4': file(4, 'connections'),
    'connections-8': file(8, 'connections'),
  },
  cases: [{ name: 'zipf', rate: '8000/s', connections: 64, objects: 20000, zipf: 1.1 }],
}
