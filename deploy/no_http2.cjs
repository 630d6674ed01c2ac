/** Stands in for undici's HTTP/2, which loads Node's. Entries speak HTTP/1.1 to endpoints, peers and the store. */
module.exports = () => {
  throw new Error("The bundle has no HTTP/2");
};
