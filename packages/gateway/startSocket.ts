import { connect, type Socket } from 'node:net';
import type { Result } from '../common/Result';
import { toHostPort } from '../common/toHostPort';

interface SocketOptions {
  /** Host and port. */
  readonly address: string;
  readonly timeoutMs: number;
}

/** Connects a TCP socket; the error is its code, for example ECONNREFUSED, or ETIMEDOUT. */
export const startSocket = (options: SocketOptions): Promise<Result<Socket, string>> => {
  return new Promise((resolve) => {
    const socket = connect({ ...toHostPort(options.address), noDelay: true });
    const timer = setTimeout(() => {
      socket.destroy();
      resolve({ ok: false, error: 'ETIMEDOUT' });
    }, options.timeoutMs);
    const handleError = (thrown: NodeJS.ErrnoException) => {
      clearTimeout(timer);
      resolve({ ok: false, error: thrown.code ?? thrown.message });
    };
    socket.once('error', handleError);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', handleError);
      resolve({ ok: true, value: socket });
    });
  });
};
