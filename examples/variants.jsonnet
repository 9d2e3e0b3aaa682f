// Device classes that may share one copy of an object, of dispatchers that know each other. Without fleet.variants nothing of it is looked for.
{
  fleet: {
    listen: '127.0.0.1:5100',
    variants: {
      objects: 100000,  // that evidence is kept of; what is forgotten goes by its own class
      services: {
        segment: {
          classes: ['tv', 'phone', 'car'],  // the first is preferred to stand for others; devices that are none of these go as they came
          field: 'device',                  // of clients' GETs, or a header where proxies ask
          host_field: 'dev',                // of requests to hosts: the class whose variant is wanted
          proof: 'tag',                     // tag: equal tags are equal bytes, whatever the class; digest; body
          witnesses: 2,                     // hosts that must have borne it out
          fresh: '10m',                     // how long an answer with no version is evidence; or 'until purged'
          presume: { objects: 200, checks: 0.01 },  // left out, nothing is presumed
        },
      },
    },
  },
}
