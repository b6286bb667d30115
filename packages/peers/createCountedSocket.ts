import { WebSocket } from 'ws';
import type { ByteCounter } from '../common/ByteCounter';

/** Creates a WebSocket class whose connections are counted. */
export const createCountedSocket = (counter: ByteCounter): typeof globalThis.WebSocket => {
  class CountedSocket extends WebSocket {
    constructor(url: string) {
      super(url);
      this.on('upgrade', (response) => counter.addSocket(response.socket));
    }
  }
  return CountedSocket as unknown as typeof globalThis.WebSocket;
};
