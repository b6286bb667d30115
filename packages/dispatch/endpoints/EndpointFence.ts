/** Number of tokens that each leader has for one endpoint, one for each incarnation. The tokens of the next leader are all higher. */
const TOKENS_PER_EPOCH = 1_000_000;

/**
 * Fencing token of one leader for one endpoint. It rises with each leader and with each incarnation of the endpoint, since a new incarnation has
 * seen no token and would accept a delayed command to the previous one. Once it has seen its own token, it rejects such commands.
 */
export class EndpointFence {
  private nextIncarnationCount = 0;

  constructor(private readonly epoch: number) {}

  /** Returns the token for the newest incarnation; incarnations beyond the leader's range of tokens share the highest. */
  getToken(): number {
    return this.epoch * TOKENS_PER_EPOCH + Math.min(this.nextIncarnationCount, TOKENS_PER_EPOCH - 1);
  }

  /** Returns true once the token has been raised, as the leader has seen more than one incarnation of the endpoint. */
  hasTokenRisen(): boolean {
    return this.nextIncarnationCount > 0;
  }

  /** Raises the token for a new incarnation of the endpoint. */
  recordNextIncarnation(): void {
    this.nextIncarnationCount += 1;
  }
}
