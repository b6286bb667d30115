/** Number of tokens of one leader; those of the next leader are higher. */
const TOKENS_PER_EPOCH = 1_000_000;

/**
 * Fencing token of one leader for one endpoint. It rises with each leader and with each incarnation of the endpoint, since a new incarnation has
 * seen no token and would accept a delayed command to the previous one. Once it has seen its own token, it rejects such commands.
 */
export class EndpointFence {
  private nextIncarnationCount = 0;

  constructor(private readonly epoch: number) {}

  getToken(): number {
    return this.epoch * TOKENS_PER_EPOCH + Math.min(this.nextIncarnationCount, TOKENS_PER_EPOCH - 1);
  }

  /** Returns true once the leader has seen more than one incarnation. */
  hasTokenRisen(): boolean {
    return this.nextIncarnationCount > 0;
  }

  /** Raises the token for a new incarnation of the endpoint. */
  recordNextIncarnation(): void {
    this.nextIncarnationCount += 1;
  }
}
