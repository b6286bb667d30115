/** Length of the longest host name, a colon and the longest port. */
const MAX_LENGTH = 259;
const MAX_PORT = 65_535;
const HOST_PORT = /^[A-Za-z0-9._-]+:(\d{1,5})$/;

/** Returns whether a text is `HOST:PORT` that clients can connect to: a host name or an IPv4 address that makes a URL, and a valid port. */
export const isHostPort = (text: string): boolean => {
  const port = text.length > MAX_LENGTH ? undefined : HOST_PORT.exec(text)?.[1];
  return port !== undefined && Number(port) > 0 && Number(port) <= MAX_PORT && URL.canParse(`http://${text}`);
};
