import { connect, type Socket } from 'node:net';
import type { Result } from '../common/Result';
import { parseHostPort } from '../common/parseHostPort';

interface SocketOptions {
  /** Host and port. */
  readonly address: string;
  readonly timeoutMs: number;
}

/** Opens a TCP connection. The error is a system error code such as ECONNREFUSED, or ETIMEDOUT after `timeoutMs`. */
export const createConnectedSocket = (options: SocketOptions): Promise<Result<Socket, string>> => {
  return new Promise((resolve) => {
    const socket = connect({ ...parseHostPort(options.address), noDelay: true });
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
