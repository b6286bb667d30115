/** How many more questions the advice service could be asked at once. */
export interface AdviceSlots {
  /** Questions of any length. */
  readonly all: number;
  /** Of these, long ones: they stay off the leader's own box, which keeps it free for short ones. */
  readonly long: number;
}
