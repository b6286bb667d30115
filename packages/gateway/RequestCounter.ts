import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** Counts the requests of each connection that have been read and not been answered, which are several when a client pipelines them. */
export class RequestCounter {
  private readonly counts = new WeakMap<Socket, number>();

  constructor(server: Server) {
    server.prependListener('request', ({ socket }, response) => {
      this.addToCount(socket, 1);
      response.once('close', () => this.addToCount(socket, -1));
    });
  }

  /** Returns true if the connection has more than one request to be answered, so that it must outlast the next response. */
  hasSeveralRequests(socket: Socket): boolean {
    return (this.counts.get(socket) ?? 0) > 1;
  }

  private addToCount(socket: Socket, change: number): void {
    this.counts.set(socket, (this.counts.get(socket) ?? 0) + change);
  }
}
