interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Parses `HOST:PORT`. */
export const parseHostPort = (address: string): HostPort => {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
};
