// Package quota holds each workspace to its rate and burst in tokens over all
// entry hosts together.
//
// A workspace's rate and burst are divided into a base and a surplus part.
// Each part of each shard of workspaces has one owner host, which keeps exact
// token buckets (Owner) and hands out grants that expire. Every entry host
// spends from grants that it holds (Holder). Tokens that are granted and not
// yet reported spent count as still in the bucket, so the sum of what all
// hosts admit never passes rate and burst, whatever messages are lost.
// Limiter puts both behind one interface and does the exchanges.
package quota
