import type { Socket } from 'node:net';

/** Counts the bytes of a set of sockets, both ways, also after they have closed. */
export class ByteCounter {
  private readonly open = new Set<Socket>();
  private closedBytes = 0;

  /** Counts a socket from its first byte. */
  recordSocket(socket: Socket): void {
    if (this.open.has(socket)) {
      return;
    }
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.closedBytes += socket.bytesRead + socket.bytesWritten;
    });
  }

  /** Bytes received and sent so far. */
  readTotal(): number {
    let total = this.closedBytes;
    for (const socket of this.open) {
      total += socket.bytesRead + socket.bytesWritten;
    }
    return total;
  }
}
