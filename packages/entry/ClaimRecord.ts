/** What the claims' stream carries: many claims or releases in one append. */
export interface ClaimRecord {
  readonly kind: 'claims';
  readonly claims: readonly { readonly key: string; readonly claimId: string; readonly process: string }[];
  /** Claims given back, because their request was certainly not run. */
  readonly released: readonly string[];
}
