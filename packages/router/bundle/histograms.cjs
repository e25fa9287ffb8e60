/** The parts of hdr-histogram-js that the router uses; its log writer builds a number format when it is loaded. */
const {
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
} = require('../../../node_modules/hdr-histogram-js/dist/encoding');
const { build } = require('../../../node_modules/hdr-histogram-js/dist/HistogramBuilder');

module.exports = { build, decodeFromCompressedBase64, encodeIntoCompressedBase64 };
