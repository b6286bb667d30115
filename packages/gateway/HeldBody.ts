/** Body of a request that is being read, or whose request has not been answered. */
export interface HeldBody {
  /** Bytes that are reserved for it. */
  bytes: number;
  /** Refuses the request while the body is being read. */
  readonly cancel: () => void;
}
