import type { JsonResult } from './JsonResult';

interface JsonRequest {
  readonly path: string;
  readonly body: object;
  /** Inactivity timeout: the time allowed until the response begins, and between its chunks. */
  readonly timeoutMs: number;
  /** True if the request must reach the process that responded last: it is sent over the open connection, or fails as `refused`. */
  readonly mustReuseConnection?: boolean;
}

/** Client that posts JSON to one address. */
export interface JsonClient {
  /** Sends a request. Never rejects. */
  sendJsonRequest(request: JsonRequest): Promise<JsonResult>;
  /** Makes later requests use new connections; active requests keep theirs. */
  renewConnections(): void;
  /** Closes all connections; active and later requests fail. */
  stop(): Promise<void>;
}
