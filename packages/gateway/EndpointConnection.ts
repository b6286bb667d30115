import type { Socket } from 'node:net';
import { Client } from 'undici';

interface EndpointConnectionOptions {
  readonly address: string;
  /** A socket that is connected already, so that a request is written in the turn in which it is made. */
  readonly socket: Socket;
  /** Largest answer taken, in bytes. */
  readonly answerLimit: number;
}

/** One connection to an endpoint: one request at a time. */
export class EndpointConnection {
  readonly client: Client;
  isBusy = false;
  isClosed = false;

  constructor(options: EndpointConnectionOptions) {
    let isUsed = false;
    this.client = new Client(`http://${options.address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: 60_000,
      maxResponseSize: options.answerLimit,
      connect: (_options, handleSocket) => {
        if (isUsed) {
          // One socket a connection: a lost one is not replaced behind the count's back.
          handleSocket(new Error('connection lost'), null);
          return;
        }
        isUsed = true;
        // Not within the call: undici would not notice the connection. A microtask is still the same turn of the loop.
        queueMicrotask(() => handleSocket(null, options.socket));
      },
    });
    options.socket.once('close', () => {
      this.isClosed = true;
    });
  }

  stop(): void {
    this.isClosed = true;
    this.client.destroy().catch(() => undefined);
  }
}
