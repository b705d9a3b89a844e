package lavcaller

import (
	"net/http"
	"slices"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/services/lavplan"
	"lavenderswitch/entry/models/lavrequest"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (r *Router) models(w http.ResponseWriter, request *http.Request) {
	id, _, err := r.account(request)
	if err != nil {
		lavhttp.WriteError(w, err)
		return
	}
	document := r.Configs.Document()
	names := []string{modelAuto}
	for _, version := range lavplan.Usable(document, lavplan.Query{Account: id}) {
		names = append(names, string(document.Versions[version].Model), string(version))
	}
	slices.Sort(names)
	list := modelList{Object: "list"}
	for _, name := range slices.Compact(names) {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "lavenderswitch"})
	}
	lavhttp.WriteJSON(w, http.StatusOK, list)
}

// resolveModel sets the requested version or model from the model field. An empty field means auto.
func (r *Router) resolveModel(accepted *lavrequest.Request, name string) {
	if name == "" {
		name = modelAuto
	}
	accepted.ModelName = name
	if name == modelAuto {
		return
	}
	if _, ok := r.Configs.Document().Versions[lavid.VersionID(name)]; ok {
		accepted.Version = lavid.VersionID(name)
		return
	}
	accepted.Model = lavid.ModelID(name)
}
