import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';

/** Connections of a stand-in that stay open and are answered no more, as when the network forgets them without a reset. */
export class SilentSockets {
  private readonly open = new Set<Socket>();
  private readonly silent = new Set<Socket>();

  /** Watches the connections of a server. */
  recordServer(server: Server): void {
    server.on('connection', (socket: Socket) => {
      this.open.add(socket);
      socket.once('close', () => {
        this.open.delete(socket);
        this.silent.delete(socket);
      });
    });
  }

  /** Silences all connections that are open now, for good. New ones work. */
  applySilence(): void {
    this.open.forEach((socket) => this.silent.add(socket));
  }

  isSilent({ socket }: IncomingMessage): boolean {
    return this.silent.has(socket);
  }
}
