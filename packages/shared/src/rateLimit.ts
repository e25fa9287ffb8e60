/** Parses a limit in requests per second; null if the text is missing or not a number from 0 on. */
export const parseRequestsPerSecond = (text: string | null): number | null => {
  const limit = Number(text === null || text.trim() === '' ? NaN : text);
  return Number.isFinite(limit) && limit >= 0 ? limit : null;
};
