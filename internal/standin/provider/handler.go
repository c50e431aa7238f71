package provider

import (
	"net/http"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/jsonhttp"
	"github.com/gorilla/mux"
)

// Handler returns the HTTP API. POST /faults/withdraw/ID withdraws an endpoint.
// PUT /faults/full/DOMAIN makes a failure domain full, so that it refuses new
// endpoints, and DELETE undoes that.
func (p *Provider) Handler() http.Handler {
	r := mux.NewRouter()
	p.faults.Register(r)
	r.HandleFunc("/v1/endpoints", p.faults.Wrap(p.serveOrder)).Methods(http.MethodPost)
	r.HandleFunc("/v1/endpoints", p.faults.Wrap(p.serveList)).Methods(http.MethodGet)
	r.HandleFunc("/v1/endpoints/return", p.faults.Wrap(p.serveReturn)).Methods(http.MethodPost)
	r.HandleFunc("/faults/withdraw/{id}", p.serveWithdraw).Methods(http.MethodPost)
	r.HandleFunc("/faults/full/{domain}", p.serveFull).Methods(http.MethodPut, http.MethodDelete)
	r.HandleFunc("/record", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, p.Record())
	}).Methods(http.MethodGet)
	return r
}

func (p *Provider) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order backing.EndpointOrder
	if jsonhttp.Read(w, r, &order) {
		endpoint, err := p.Order(r.Context(), order)
		jsonhttp.WriteResult(w, endpoint, err)
	}
}

func (p *Provider) serveList(w http.ResponseWriter, r *http.Request) {
	list, err := p.Endpoints(r.Context(), r.URL.Query().Get("pool"))
	jsonhttp.WriteResult(w, list, err)
}

func (p *Provider) serveReturn(w http.ResponseWriter, r *http.Request) {
	var call backing.ReturnRequest
	if jsonhttp.Read(w, r, &call) {
		jsonhttp.WriteResult(w, struct{}{}, p.Return(r.Context(), call.OrderID, call.Fence, call.Issuer))
	}
}

func (p *Provider) serveWithdraw(w http.ResponseWriter, r *http.Request) {
	jsonhttp.WriteResult(w, struct{}{}, p.Withdraw(mux.Vars(r)["id"]))
}

func (p *Provider) serveFull(w http.ResponseWriter, r *http.Request) {
	p.SetFull(mux.Vars(r)["domain"], r.Method == http.MethodPut)
	jsonhttp.Write(w, struct{}{})
}
