import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';

/** Connections of a stand-in that stay open but get no more responses, as when a network device drops their state without a reset. */
export class BlackholedConnections {
  private readonly openSockets = new Set<Socket>();
  private readonly blackholedSockets = new Set<Socket>();

  /** Tracks the connections that a server accepts from now on, until they close. */
  addServer(server: Server): void {
    server.on('connection', (socket: Socket) => {
      this.openSockets.add(socket);
      socket.once('close', () => {
        this.openSockets.delete(socket);
        this.blackholedSockets.delete(socket);
      });
    });
  }

  /** Blackholes all connections that are open now, for good. New connections work. */
  applyBlackhole(): void {
    this.openSockets.forEach((socket) => this.blackholedSockets.add(socket));
  }

  isBlackholed({ socket }: IncomingMessage): boolean {
    return this.blackholedSockets.has(socket);
  }
}
