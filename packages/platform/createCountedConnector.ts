import type { Socket } from 'node:net';
import { buildConnector } from 'undici';
import type { ByteCounter } from '../common/ByteCounter';

/** Creates undici's own connector with its sockets counted. */
export const createCountedConnector = (counter: ByteCounter): buildConnector.connector => {
  const connect = buildConnector({});
  return (options, handleSocket) => {
    connect(options, (...result) => {
      if (result[1] !== null) {
        counter.addSocket(result[1] as Socket);
      }
      handleSocket(...result);
    });
  };
};
