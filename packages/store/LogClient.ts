import type { Result } from '../common/Result';
import type { LogError } from './LogError';
import type { LogRecord } from './LogRecord';
import type { LogWrite } from './LogWrite';
import type { WriterIdentity } from './WriterIdentity';

interface AppendRequest {
  readonly topic: string;
  readonly writes: readonly LogWrite[];
  readonly timeoutMs: number;
  /** Present for appends of an exclusive writer. */
  readonly writer?: WriterIdentity;
}

interface ReadRequest {
  readonly topic: string;
  readonly fromOffset: number;
  /** Time that the log may wait for a record before it responds. */
  readonly waitMs: number;
  /** Time limit without data from the log, `waitMs` included. */
  readonly timeoutMs: number;
}

interface NewestRequest {
  readonly topic: string;
  /** Key that the page starts after; undefined for the first page. */
  readonly afterKey: string | undefined;
  /** Time limit without data from the log. */
  readonly timeoutMs: number;
}

/** Page of the newest records by key, in the order of the keys. */
interface NewestPage extends ReadResponse {
  /** True when there are further keys. */
  readonly hasMore: boolean;
}

/** Response of the log to a read. */
interface ReadResponse {
  readonly records: readonly LogRecord[];
  /** Offset after the last record of the topic. */
  readonly endOffset: number;
}

/** Client of the platform's log: keyed topics of one partition with linearizable appends and reads. */
export interface LogClient {
  /** Appends all records or none, and returns the offset of the first. */
  append(request: AppendRequest): Promise<Result<number, LogError>>;
  /** Reads the records from an offset on. */
  readRecords(request: ReadRequest): Promise<Result<ReadResponse, LogError>>;
  /** Reads a page of the newest record of each key. Pages are not a consistent snapshot; see `NewestReader`. */
  readPageOfNewestByKey(request: NewestRequest): Promise<Result<NewestPage, LogError>>;
  /** Closes all connections. */
  stop(): Promise<void>;
}
