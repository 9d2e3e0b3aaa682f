{ cores: { count: 4, divided: 'connections' } }
