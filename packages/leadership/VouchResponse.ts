/** Response of a box to a leader that asks it to vouch for its epoch. */
export interface VouchResponse {
  readonly box: string;
  /** Id of the responding process, unique for each process of a box. */
  readonly process: string;
  /** True when the process knows no leader of a newer epoch, and will tell such a leader that it has vouched. */
  readonly isVouched: boolean;
}
