import type { Socket } from 'node:net';

/** Counts the bytes that a set of sockets has received and sent, including closed sockets. */
export class ByteCounter {
  private readonly open = new Set<Socket>();
  private closedBytes = 0;

  /** Adds a socket; all its bytes count, also those from before the call. */
  addSocket(socket: Socket): void {
    if (this.open.has(socket)) {
      return;
    }
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.closedBytes += socket.bytesRead + socket.bytesWritten;
    });
  }

  /** Returns the number of bytes received and sent so far. */
  getTotal(): number {
    let total = this.closedBytes;
    for (const socket of this.open) {
      total += socket.bytesRead + socket.bytesWritten;
    }
    return total;
  }
}
