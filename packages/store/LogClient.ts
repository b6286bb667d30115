import type { Result } from '../common/Result';
import type { LogError } from './LogError';
import type { LogRecord } from './LogRecord';
import type { LogWrite } from './LogWrite';
import type { WriterIdentity } from './WriterIdentity';

interface AppendRequest {
  readonly topic: string;
  readonly writes: readonly LogWrite[];
  readonly timeoutMs: number;
  /** Present for exclusive writers. */
  readonly writer?: WriterIdentity;
}

interface ReadRequest {
  readonly topic: string;
  readonly fromOffset: number;
  /** How long the answer may wait for a record. */
  readonly waitMs: number;
  /** Longest silence of the log, `waitMs` included. */
  readonly timeoutMs: number;
}

interface NewestRequest {
  readonly topic: string;
  /** The page begins after this key; undefined for the first page. */
  readonly afterKey: string | undefined;
  /** Longest silence of the log. */
  readonly timeoutMs: number;
}

/** One page of the newest records by key, in the order of the keys. */
interface NewestPage extends ReadAnswer {
  /** True when keys after these remain. */
  readonly hasMore: boolean;
}

/** What a read of the log gave. */
interface ReadAnswer {
  readonly records: readonly LogRecord[];
  /** Offset after the newest record of the topic. */
  readonly endOffset: number;
}

/** What the product needs of the platform's log: keyed topics of one partition with linearizable appends and reads. */
export interface LogClient {
  /** Appends all records or none; gives the offset of the first. */
  append(request: AppendRequest): Promise<Result<number, LogError>>;
  /** Reads records from an offset on. */
  readRecords(request: ReadRequest): Promise<Result<ReadAnswer, LogError>>;
  /** Reads the newest record of some keys. Pages are no snapshot; `NewestReader` reads a topic whole. */
  readNewestPage(request: NewestRequest): Promise<Result<NewestPage, LogError>>;
  /** Closes all connections. */
  stop(): Promise<void>;
}
