{
  purges: { order: 'latest', generation: 2, entries: 100, bytes: '1MiB', time: '10m', wait: '1s', forget: '2h', slow: 'cut' },
  keyed: { order: 'key' },
  ended: { order: 'total', generation: 7, end: true },
}
