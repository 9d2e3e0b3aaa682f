{ cores: { count: 8, divided: 'connections' } }
