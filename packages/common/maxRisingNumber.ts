/**
 * Highest valid number of a version or an epoch, which rises by one at a time. Leaves room for later ones, which have to be exact integers and
 * higher than one that another writer has made up.
 */
export const maxRisingNumber = Number.MAX_SAFE_INTEGER - 2 ** 32;
