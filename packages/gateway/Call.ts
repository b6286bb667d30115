import type { RequestId } from '../common/RequestId';
import type { RowName } from '../common/RowName';
import type { TeamName } from '../common/TeamName';

/** A caller's request after its headers were checked. */
export interface Call {
  readonly id: RequestId;
  readonly row: RowName;
  /** The team it counts against; undefined means the row's own. */
  readonly team: TeamName | undefined;
  /** Time that the caller gives it, in milliseconds from arrival; undefined means the row's. */
  readonly deadlineMs: number | undefined;
  readonly idempotencyKey: string | undefined;
  readonly body: Buffer;
  /** Headers handed on to the endpoint. */
  readonly forwardedHeaders: Readonly<Record<string, string>>;
  /** True when another entry box has sent it here: it is not sent on again. */
  readonly isForwarded: boolean;
  /** True when another entry box only asks what became of the key. */
  readonly isLookup: boolean;
}
