import type { RequestId } from '../common/RequestId';
import type { RowName } from '../common/RowName';
import type { TeamName } from '../common/TeamName';

/** Request of a caller with validated headers. */
export interface Call {
  readonly id: RequestId;
  readonly row: RowName;
  /** Team whose quota the call counts against; undefined for the team of the row. */
  readonly team: TeamName | undefined;
  /** Deadline in milliseconds after arrival; undefined for the default of the row. */
  readonly deadlineMs: number | undefined;
  readonly idempotencyKey: string | undefined;
  readonly body: Buffer;
  /** Headers that are forwarded to the endpoint. */
  readonly forwardedHeaders: Readonly<Record<string, string>>;
  /** True if another entry box has forwarded the call, so that it is not forwarded again. */
  readonly isForwarded: boolean;
  /** True if another entry box only asks for the outcome of the idempotency key, without running the call. */
  readonly isLookup: boolean;
}
