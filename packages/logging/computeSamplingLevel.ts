const HASH_START = 2_166_136_261;
const HASH_FACTOR = 16_777_619;
const HASH_BITS = 32;

/** Spreads each bit of a 32-bit number over all others: ids of a caller may differ in few of them. */
const toMixed = (value: number): number => {
  const first = Math.imul(value ^ (value >>> 16), 0x85eb_ca6b);
  const second = Math.imul(first ^ (first >>> 13), 0xc2b2_ae35);
  return second ^ (second >>> 16);
};

const toHash = (text: string): number => {
  let hash = HASH_START;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), HASH_FACTOR);
  }
  return toMixed(hash);
};

/**
 * In how small a share of all jobs this one still is: one in 2^n jobs has a depth of n or more. By the id alone, so that all boxes and all
 * leaders choose the same jobs, and each share holds all smaller ones.
 */
export const computeSamplingLevel = (job: string): number => {
  const hash = toHash(job);
  const lowestBit = hash & -hash;
  return lowestBit === 0 ? HASH_BITS : HASH_BITS - 1 - Math.clz32(lowestBit);
};
