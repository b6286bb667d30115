import type { FastifyRequest } from 'fastify';
import type { IncomingMessage } from 'node:http';
import type { ConnectionGuard } from './ConnectionGuard';
import type { RefusalCause } from './RefusalCause';

interface BodyParserOptions {
  readonly bodyLimit: number;
  readonly maxSmallChunks: number;
  readonly guard: ConnectionGuard;
}

interface BodyError extends Error {
  readonly statusCode: number;
  readonly code: string;
  readonly headers?: Readonly<Record<string, string>>;
}

type BodyParser = (
  request: FastifyRequest,
  payload: IncomingMessage,
  done: (error: Error | null, body?: Buffer) => void,
) => void;
type BodyRefusal = Extract<RefusalCause, 'bodyBytes' | 'heldBytes' | 'smallChunks'>;

const NO_BYTES = Buffer.alloc(0);
const MIN_CAPACITY_BYTES = 1024;
/** Bytes of a body for each of its chunks beyond `maxSmallChunks`. */
const MIN_CHUNK_BYTES = 16;

const createError = (message: string, fields: Omit<BodyError, 'name' | 'message'>): BodyError =>
  Object.assign(new Error(message), fields);

/** Errors of bodies that are refused. One that is refused for want of memory has not been taken, and may come again. */
const REFUSALS: Readonly<Record<BodyRefusal, () => BodyError>> = {
  bodyBytes: () =>
    createError('Request body is too large', { statusCode: 413, code: 'FST_ERR_CTP_BODY_TOO_LARGE' }),
  heldBytes: () =>
    createError('too many request bodies', {
      statusCode: 503,
      code: 'BODIES_HELD',
      headers: { 'retry-after': '1' },
    }),
  smallChunks: () =>
    createError('Request body is sent in too small chunks', { statusCode: 400, code: 'SMALL_CHUNKS' }),
};

/**
 * Creates a parser that collects the body of a request in one buffer, which grows with the bytes that have arrived, whatever their chunks. The guard
 * counts the buffer until the request is answered.
 */
export const createBodyParser =
  ({ bodyLimit, maxSmallChunks, guard }: BodyParserOptions): BodyParser =>
  (_request, payload, done) => {
    let buffer: Buffer = NO_BYTES;
    let length = 0;
    let chunkCount = 0;

    const stopReading = (): void => {
      buffer = NO_BYTES;
      payload.off('data', handleChunk);
      payload.off('end', handleEnd);
      payload.off('error', handleError);
    };
    const refuse = (cause: BodyRefusal): void => {
      stopReading();
      // The guard logs the refusal; the rest of the body may end as it likes.
      payload.on('error', () => undefined);
      payload.resume();
      guard.handleRefusedBody(payload, cause);
      done(REFUSALS[cause]());
    };
    const body = guard.addBody(payload, () => refuse('heldBytes'));

    /** Returns whether the buffer has room for a length, after growing it if need be. The first chunk takes the place of the buffer. */
    const reserveCapacity = (neededBytes: number): boolean => {
      if (neededBytes <= buffer.length) {
        return true;
      }
      if (length === 0) {
        return guard.reserveBytes(body, neededBytes);
      }
      const capacity = Math.min(bodyLimit, Math.max(neededBytes, 2 * buffer.length, MIN_CAPACITY_BYTES));
      if (!guard.reserveBytes(body, capacity - buffer.length)) {
        return false;
      }
      const grown = Buffer.allocUnsafe(capacity);
      buffer.copy(grown, 0, 0, length);
      buffer = grown;
      return true;
    };
    const findRefusal = (chunkBytes: number): BodyRefusal | undefined => {
      const neededBytes = length + chunkBytes;
      if (neededBytes > bodyLimit) {
        return 'bodyBytes';
      }
      if (chunkCount > maxSmallChunks + neededBytes / MIN_CHUNK_BYTES) {
        return 'smallChunks';
      }
      return reserveCapacity(neededBytes) ? undefined : 'heldBytes';
    };
    const handleChunk = (chunk: Buffer): void => {
      chunkCount += 1;
      const refusal = findRefusal(chunk.length);
      if (refusal !== undefined) {
        refuse(refusal);
        return;
      }
      if (length === 0) {
        buffer = chunk;
      } else {
        chunk.copy(buffer, length);
      }
      length += chunk.length;
    };
    const handleEnd = (): void => {
      const collected = buffer.subarray(0, length);
      stopReading();
      guard.handleBodyRead(payload);
      done(null, collected);
    };
    const handleError = (error: Error): void => {
      stopReading();
      guard.releaseBody(payload);
      done(error);
    };

    if (Number(payload.headers['content-length'] ?? 0) > bodyLimit) {
      refuse('bodyBytes');
      return;
    }
    payload.on('data', handleChunk);
    payload.on('end', handleEnd);
    payload.on('error', handleError);
  };
