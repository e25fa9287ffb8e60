import type * as requestState from './requestState.js';

/** Builds the pin of a session with the versions it has used; returns null for calls of plain services. */
export const makePin = (request: requestState.RequestState): requestState.SessionPin | null => {
  if (request.shape.kind === 'call') {
    return null;
  }
  const [model = '', version = ''] = request.versionId.split('@');
  return { versions: { ...request.pin?.versions, [model]: version } };
};
