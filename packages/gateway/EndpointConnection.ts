import type { Socket } from 'node:net';
import { Client } from 'undici';

interface EndpointConnectionOptions {
  /** Host and port. */
  readonly address: string;
  /** Connected socket. */
  readonly socket: Socket;
  /** Maximum size of a response, in bytes. */
  readonly maxResponseBytes: number;
}

/** Connection to an endpoint, with one request at a time. */
export class EndpointConnection {
  readonly client: Client;
  isBusy = false;
  isClosed = false;

  private readonly socket: Socket;

  constructor(options: EndpointConnectionOptions) {
    this.socket = options.socket;
    let isUsed = false;
    this.client = new Client(`http://${options.address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: 60_000,
      maxResponseSize: options.maxResponseBytes,
      connect: (_options, handleSocket) => {
        if (isUsed) {
          // Undici must not open another socket: the endpoint client counts its connections.
          handleSocket(new Error('connection lost'), null);
          return;
        }
        isUsed = true;
        // Undici ignores a socket that is passed synchronously.
        queueMicrotask(() => handleSocket(null, options.socket));
      },
    });
    options.socket.once('close', () => {
      this.isClosed = true;
    });
  }

  /** Returns the number of bytes written to the socket so far. */
  getBytesWritten(): number {
    return this.socket.bytesWritten;
  }

  /**
   * Resolves when more than `before` bytes have been written to the socket, or it is closed. On a reused connection undici writes
   * a request in a later iteration of the event loop.
   */
  async waitForWrite(before: number): Promise<void> {
    while (this.socket.bytesWritten === before && !this.isClosed && !this.socket.destroyed) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  stop(): void {
    this.isClosed = true;
    this.client.destroy().catch(() => undefined);
  }
}
