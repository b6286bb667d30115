import type { IncarnationConnection } from './IncarnationConnection';

/** The connections for commands to one incarnation of an endpoint. */
export class IncarnationConnections {
  constructor(private readonly connections: readonly IncarnationConnection[]) {}

  /** Sends a request over the connection with the fewest pending ones. Never rejects. */
  sendRequest(
    request: Parameters<IncarnationConnection['sendRequest']>[0],
  ): ReturnType<IncarnationConnection['sendRequest']> {
    const leastUsed = this.connections.reduce((best, other) =>
      other.countPending() < best.countPending() ? other : best,
    );
    return leastUsed.sendRequest(request);
  }

  /** Makes later requests use new connections. */
  renew(): void {
    this.connections.forEach((connection) => connection.renew());
  }

  /** Closes the connections; pending and later requests fail. */
  async stop(): Promise<void> {
    await Promise.all(this.connections.map((connection) => connection.stop()));
  }
}
