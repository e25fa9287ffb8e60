/** Makes the content of a settings file for a router of routes on one loopback address. */
export const makeRouterSettings = (ip: string, platform: object, change: object = {}): object => ({
  zone: 'a',
  callers: `${ip}:7401`,
  peers: `${ip}:7402`,
  status: `${ip}:7403`,
  peerSecret: 'a-secret-of-the-tests',
  platform: { name: 'r-1', readyAddress: `${ip}:7404`, ...platform },
  ...change,
});
